/**
 * Reading of JSON bodies with an error that names the field.
 */
package org.wasabimount.daemon.json;
