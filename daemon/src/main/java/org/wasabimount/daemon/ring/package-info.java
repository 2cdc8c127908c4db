/**
 * A duty's thread with the bounded ring that feeds it.
 */
package org.wasabimount.daemon.ring;
