/**
 * A small HTTP client on top of Undertow's, which returns complete responses only. The daemon, the command-line tool and
 * the bench use it.
 */
package org.wasabimount.client;
