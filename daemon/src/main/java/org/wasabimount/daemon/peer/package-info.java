/**
 * The network between daemons: links, gossip and operations that are passed on to a group's leader.
 */
package org.wasabimount.daemon.peer;
