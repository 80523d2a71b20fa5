package magpiehub.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A router's own configuration. {@code known} is the list as JSON, in discovery's form; {@code file} is
 *  what the file said, for comparing it with a later one. {@code console} is where operators call, null
 *  if nowhere; {@code inherited} says that the clients' listening socket is descriptor 0. */
public record RouterConfiguration(
        String name,
        String listen,
        String console,
        boolean inherited,
        String discovery,
        long seed,
        int memoryMb,
        int sockets,
        byte[] known,
        SiteSettings site,
        Map<String, Object> file) {
    /** The members of the file in which a later file differs, settings by their own names. The list and
     *  the seed belong to a start, and discovery's address is followed by itself: these don't count. */
    public List<String> changes(RouterConfiguration later) {
        List<String> names = new ArrayList<>();
        Config.differences(file, later.file, "", names);
        names.removeAll(List.of("known", "seed", "discovery", "console"));
        return names;
    }
}
