/**
 * The HTTP API for callers, operators, workers and backend servers.
 */
package org.wasabimount.daemon.http;
