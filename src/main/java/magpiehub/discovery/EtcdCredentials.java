package magpiehub.discovery;

/** The user name and password that a client authenticates with at etcd. */
record EtcdCredentials(String user, String password) {
    /** Returns the credentials, or null if {@code user} is null, which means that the cluster requires none. */
    static EtcdCredentials of(String user, String password) {
        return user == null ? null : new EtcdCredentials(user, password);
    }
}
