package org.wasabimount.core.routing;

import org.wasabimount.core.OrganisationId;

/**
 * Names the backend servers that stand in for each other.
 *
 * @param owner the organisation whose servers they are, or null for servers shared by all
 * @param service the service's name
 */
public record PoolKey(OrganisationId owner, String service) {}
