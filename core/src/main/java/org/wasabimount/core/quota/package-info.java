/**
 * The quotas of organisations at placement: how much an organisation may still place, and which of its steps wait for that.
 *
 * <p>Load: twenty to hundreds of organisations, some of which have a backlog far above their quota while others have none, and
 * quotas that a new table of queues puts far below what runs. The cost follows the changes: an organisation at its quota costs
 * nothing until something of it ends.
 *
 * <p>Depends on the state of the jobs in {@link org.wasabimount.core.job}, which checks each placement again when it is applied.
 */
package org.wasabimount.core.quota;
