/**
 * The ledger of unrepeatable requests: which idempotency keys were claimed, and the response to each first request.
 *
 * <p>{@link org.wasabimount.core.ledger.Ledger} is the state machine of a domain's ledger log.
 */
package org.wasabimount.core.ledger;
