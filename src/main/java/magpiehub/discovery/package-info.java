/**
 * The sources of the endpoint list: etcd or Consul, as configured in {@code deploy/registry.json}. The client of the
 * platform's own discovery, which is used without that file, is in {@code magpiehub.discovery.platform}.
 *
 * <p>{@link magpiehub.discovery.RegistryClient} is the actor that watches a registry. A {@code RegistryProtocol},
 * {@code EtcdProtocol} or {@code ConsulProtocol}, makes its calls on a {@code RegistryConnection}. {@link
 * magpiehub.discovery.EndpointListState} decides which of the reported lists and changes are current, and {@link
 * magpiehub.discovery.MembershipDamping} decides which of the resulting changes the router acts on. {@link
 * magpiehub.discovery.EndpointListPublisher} applies the operators' maintenance and passes the list to the dispatcher.
 *
 * <p>{@link magpiehub.discovery.RouterRegistration} is independent of these classes: it maintains the router's own
 * entry in the registry.
 */
package magpiehub.discovery;
