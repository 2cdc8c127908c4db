/**
 * A small HTTP client on top of Undertow's, which returns complete responses only. Used by the daemon, the command-line
 * tool, the platform's adapter and the bench.
 */
package org.wasabimount.client;
