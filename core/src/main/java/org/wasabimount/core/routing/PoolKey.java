package org.wasabimount.core.routing;

import org.wasabimount.core.OrganisationId;

/**
 * Identifies a pool of interchangeable backend servers.
 *
 * @param owner the organisation that owns the servers, or null for servers shared by all organisations
 * @param service the service's name
 */
public record PoolKey(OrganisationId owner, String service) {}
