/**
 * Limits of what a process holds for clients that it does not control: connections, unfinished requests and responses
 * that are not read.
 *
 * <p>{@link org.wasabimount.core.intake.IntakeBudget} bounds the bytes of all open requests, and
 * {@link org.wasabimount.core.intake.ConnectionTable} the open connections. Both decide and do no input or output; the
 * HTTP listeners report what arrives, and refuse or close the requests and connections that are returned.
 */
package org.wasabimount.core.intake;
