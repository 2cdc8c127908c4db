package org.wasabimount.client;

import java.util.function.Predicate;

/**
 * An exchange that must succeed on a connection before a request that is meant for one process only is sent over it.
 *
 * <p>Processes may succeed each other at an address without the client's knowledge, but a connection ends with the process
 * that accepted it: what is sent after the check reaches that process or none. An intermediary that spreads the requests of
 * one connection over several processes would break this.
 *
 * @param process names the process among all that may ever listen at the address
 * @param request the request of the check, which must change nothing whichever process receives it
 * @param passes tests whether the response comes from the process
 */
public record ConnectionCheck(String process, HttpRequest request, Predicate<HttpResponse> passes) {}
