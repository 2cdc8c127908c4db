/**
 * Routing of callers' requests on one entry VM: admission, fair queues, choice of server, retries and ejection.
 *
 * <p>{@link org.wasabimount.core.routing.RequestRouter} decides; its host sends the requests and reports how each
 * attempt ended.
 */
package org.wasabimount.core.routing;
