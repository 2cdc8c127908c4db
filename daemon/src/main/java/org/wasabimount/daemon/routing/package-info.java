/**
 * Handling of callers' requests: the thread that routes them to backend servers, and the claiming of unrepeatable
 * requests in a ledger.
 */
package org.wasabimount.daemon.routing;
