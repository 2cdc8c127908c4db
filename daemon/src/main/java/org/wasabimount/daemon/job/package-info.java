/**
 * The replica of the jobs' group with its dispatcher; the calls to workers and to the advice service are interfaces.
 */
package org.wasabimount.daemon.job;
