/**
 * A small HTTP client over Undertow's that takes whole answers or none, used by the daemon, the command-line tool and
 * the bench.
 */
package org.wasabimount.client;
