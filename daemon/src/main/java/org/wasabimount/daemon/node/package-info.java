/**
 * A process of a deployment that runs jobs: a replica of the jobs' group with its dispatcher, or an entry VM that passes
 * requests on to the leader. Nobody lists the processes; they find each other through a few seeds.
 */
package org.wasabimount.daemon.node;
