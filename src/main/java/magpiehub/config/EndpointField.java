package magpiehub.config;

/** The fields of an endpoint list entry that are read, independent of their names in a source's JSON. */
public enum EndpointField {
    /** The endpoint's id, unique within the list. Required. */
    ID("id"),
    /** The address on which it accepts connections, as {@code host:port}. */
    ADDRESS("address"),
    /** Its zone, as an index into the site's zones or as a name. Default 0. */
    ZONE("zone"),
    /** Its machine type, as an index into the site's machine types or as a name. Default 0. */
    MACHINE_TYPE("kind"),
    /** The number of its deduplication cell. Default 0. */
    CELL("cell"),
    /** Whether it takes requests, is draining or is gone. Default: it takes requests. */
    STATE("state"),
    /** Its capacity relative to others. Default 1. */
    WEIGHT("weight"),
    /** When it started, in the source's unit and by its clock. Default 0: long ago. */
    STARTED_AT("since");

    private final String label;

    EndpointField(String label) {
        this.label = label;
    }

    /** The field's name in error messages. */
    public String label() {
        return label;
    }
}
