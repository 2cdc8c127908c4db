/**
 * Communication between daemons: connections with optional TLS, and forwarding of operations to the leader of a group.
 */
package org.wasabimount.daemon.peer;
