/**
 * The cell's and the ledgers' state machines as hosted by a daemon, and the duties of the cell's leader.
 */
package org.wasabimount.daemon.cell;
