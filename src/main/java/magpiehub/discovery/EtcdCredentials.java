package magpiehub.discovery;

/** The user that a client logs in to etcd as. */
record EtcdCredentials(String user, String password) {
    /** Credentials; null where {@code user} is null, since the cluster then asks for no authentication. */
    static EtcdCredentials of(String user, String password) {
        return user == null ? null : new EtcdCredentials(user, password);
    }
}
