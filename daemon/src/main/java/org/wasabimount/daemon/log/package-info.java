/**
 * The files that store the replicated log, and the thread that drives each group's replica.
 */
package org.wasabimount.daemon.log;
