/**
 * Settings: a router's configuration file, the settings that it shares with the simulator, and endpoint lists.
 *
 * <p>{@link magpiehub.config.RouterConfigurationReader} reads the file that {@code ROUTER_CONFIG} names;
 * {@link magpiehub.config.SiteSettingsParser} reads its {@code settings} object, which the simulator sends in the same
 * form. Their keys, units and defaults are listed in {@code SettingsKeys} and {@code RouterConfigurationKeys}.
 * {@link magpiehub.config.EndpointListParser} reads the entries of an endpoint list under the names that its sender
 * gives to their fields.
 *
 * <p>An absent key takes its documented default. A value of the wrong type, or one that no default can replace, is a
 * {@link magpiehub.config.ConfigurationException} that names its place. Unknown keys are ignored.
 */
package magpiehub.config;
