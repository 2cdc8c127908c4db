/**
 * The ledger of unrepeatable requests: which keys were started, and what the first answer was.
 *
 * <p>{@link org.wasabimount.core.ledger.Ledger} is the state machine of a domain's ledger log.
 */
package org.wasabimount.core.ledger;
