/**
 * A process of a deployment that runs jobs: a replica of the jobs' group with its dispatcher, or an entry VM that
 * forwards requests to the leader. The processes are not listed in the settings; they discover each other through a few
 * seeds.
 */
package org.wasabimount.daemon.node;
