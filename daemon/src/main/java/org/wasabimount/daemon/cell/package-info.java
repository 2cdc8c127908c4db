/**
 * The replicated state machines of the cell and the ledgers, and the operations that their leaders execute.
 */
package org.wasabimount.daemon.cell;
