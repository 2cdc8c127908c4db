/**
 * Carries callers' requests: the thread that routes, the client that talks to backend servers, and the way of
 * unrepeatable requests through the ledger.
 */
package org.wasabimount.daemon.routing;
