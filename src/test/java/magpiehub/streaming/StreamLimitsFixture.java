package magpiehub.streaming;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import magpiehub.config.ConfigurationObject;
import magpiehub.config.SiteSettings;

/** Stream limits for tests that run parts of a router in their own process. */
public final class StreamLimitsFixture {
    private static final long MAX_HEAP_BYTES = 64 << 20;

    private StreamLimitsFixture() {}

    /** The limits that a router of the site has with this content of {@code deploy/streams.json}. */
    public static StreamLimits parse(String json, SiteSettings site) throws IOException {
        return StreamLimitsReader.parse(
                ConfigurationObject.parse(json.getBytes(UTF_8), "streams.json"),
                site.routing().classes(),
                MAX_HEAP_BYTES);
    }
}
