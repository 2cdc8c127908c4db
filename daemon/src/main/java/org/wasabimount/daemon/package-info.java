/**
 * The daemon of one entry VM; {@link org.wasabimount.daemon.Wasabimount} is the entry point.
 */
package org.wasabimount.daemon;
