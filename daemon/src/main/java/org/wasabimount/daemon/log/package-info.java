/**
 * Hosts of the replicated log: the files it is kept in and the thread that drives each group.
 */
package org.wasabimount.daemon.log;
