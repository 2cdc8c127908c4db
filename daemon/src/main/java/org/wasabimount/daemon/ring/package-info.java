/**
 * A thread that runs tasks from a bounded ring buffer.
 */
package org.wasabimount.daemon.ring;
