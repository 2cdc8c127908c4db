/**
 * Routing of callers' requests on one entry VM: admission control, fair queueing, server selection, retries and
 * ejection.
 *
 * <p>{@link org.wasabimount.core.routing.RequestRouter} makes the decisions and does no input or output; the code that
 * drives it sends the requests and reports the result of each attempt.
 */
package org.wasabimount.core.routing;
