/**
 * Hosts of the jobs' state and of their dispatcher: the group's thread, and the calls to workers and to the advice
 * service behind interfaces.
 */
package org.wasabimount.daemon.job;
