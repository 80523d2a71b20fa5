/**
 * Parsing of a router's configuration file, of the settings that it shares with the simulator, and of endpoint lists.
 *
 * <p>{@link magpiehub.config.RouterConfigurationReader} reads the file at the path in {@code ROUTER_CONFIG};
 * {@link magpiehub.config.SiteSettingsParser} parses its {@code settings} object, which the simulator sends in the same
 * format. Their keys, units and defaults are listed in {@code SettingsKeys} and {@code RouterConfigurationKeys}.
 * {@link magpiehub.config.EndpointListParser} parses the entries of an endpoint list with the field names of its
 * source.
 *
 * <p>An absent key takes its documented default. A value of the wrong type, or a missing one that is required, throws a
 * {@link magpiehub.config.ConfigurationException} with its path. Unknown keys are ignored.
 */
package magpiehub.config;
