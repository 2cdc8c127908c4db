/**
 * The daemon of one entry VM. {@link org.wasabimount.daemon.Wasabimount} starts everything.
 */
package org.wasabimount.daemon;
