/**
 * Where the endpoint list comes from: etcd or Consul, by the settings of {@code deploy/registry.json}. The platform's
 * own discovery, which is used without that file, is in {@code magpiehub.discovery.platform}.
 *
 * <p>{@link magpiehub.discovery.RegistryClient} is the actor that follows a registry. A {@code RegistryProtocol},
 * {@code EtcdProtocol} or {@code ConsulProtocol}, makes its calls on a {@code RegistryConnection}; what they report
 * goes to {@link magpiehub.discovery.EndpointListState}, which decides what is current, and {@link
 * magpiehub.discovery.MembershipDamping}, which decides what of it the router acts on. {@link
 * magpiehub.discovery.EndpointListPublisher} applies the operators' maintenance and hands the list to the dispatcher.
 *
 * <p>{@link magpiehub.discovery.RouterRegistration} is apart from all that: it keeps the router's own entry in the
 * registry.
 */
package magpiehub.discovery;
