package magpiehub.admin;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * What operators have said: the engines that are taken out, those that have been called back, every id
 * that was ever listed, and standby or active. It owns the meaning of the calls. It is a plain state
 * machine over one immutable value, with the time as an argument: it must never do I/O, and it carries
 * nothing out by itself.
 */
public final class MaintenanceState {
    /** Ids remembered at most; beyond that the ones first listed are forgotten, never those taken out. */
    static final int MOST_LISTED = 20_000;
    /** How long a call back is remembered (ms): longer than any engine stays cold. */
    private static final long BACK_MS = 600_000;

    /**
     * All of it, as both processes of an upgrade share it.
     *
     * @param version grows with each change
     * @param standby true while clients are sent away
     * @param banned ids of engines that are taken out
     * @param back engines that were called back, with when (Unix time, ms): they have been restarted
     * @param listed every id ever listed, in the order of their coming
     * @param routers processes that serve, by id, the newest last
     * @param sites names of sites that are given up
     */
    public record Held(
            long version,
            boolean standby,
            Set<String> banned,
            Map<String, Long> back,
            Set<String> listed,
            Set<Long> routers,
            Set<String> sites) {
        /** Before anybody said anything. */
        public static final Held NOTHING = new Held(0, false, Set.of(), Map.of(), Set.of(), Set.of(), Set.of());

        /** With more ids that are or were listed. */
        public Held listed(Collection<String> ids) {
            if (listed.containsAll(ids)) {
                return this;
            }
            Set<String> all = new LinkedHashSet<>(listed);
            all.addAll(ids);
            for (var i = all.iterator(); all.size() > MOST_LISTED && i.hasNext(); ) {
                if (!banned.contains(i.next())) {
                    i.remove();
                }
            }
            return new Held(version + 1, standby, banned, back, all, routers, sites);
        }

        /** With a process that serves now, as the newest, and without those that have gone. */
        public Held serving(long router, Collection<Long> gone) {
            Set<Long> all = new LinkedHashSet<>(routers);
            all.removeAll(gone);
            all.remove(router);
            all.add(router);
            return new Held(version + 1, standby, banned, back, listed, all, sites);
        }

        /** Without a process that has ended. */
        public Held without(long router) {
            Set<Long> all = new LinkedHashSet<>(routers);
            return all.remove(router) ? new Held(version + 1, standby, banned, back, listed, all, sites) : this;
        }

        private Held standby(boolean on) {
            return on == standby ? this : new Held(version + 1, on, banned, back, listed, routers, sites);
        }

        private Held banned(String id) {
            if (banned.contains(id)) {
                return this;
            }
            Set<String> all = new LinkedHashSet<>(banned);
            all.add(id);
            Map<String, Long> b = new LinkedHashMap<>(back);
            b.remove(id);
            return new Held(version + 1, standby, all, b, listed, routers, sites);
        }

        private Held site(String name, boolean out) {
            Set<String> all = new LinkedHashSet<>(sites);
            return (out ? all.add(name) : all.remove(name))
                    ? new Held(version + 1, standby, banned, back, listed, routers, all)
                    : this;
        }

        private Held back(String id, long unixMs) {
            if (!banned.contains(id)) {
                return this;
            }
            Set<String> all = new LinkedHashSet<>(banned);
            all.remove(id);
            Map<String, Long> b = new LinkedHashMap<>(back);
            b.values().removeIf(t -> unixMs - t > BACK_MS);
            b.put(id, unixMs);
            return new Held(version + 1, standby, all, b, listed, routers, sites);
        }
    }

    /**
     * What comes of a call.
     *
     * @param after what holds from now on; the same value if nothing changes
     * @param refused why not; null if the call is granted
     * @param said what is answered behind SUCCESS
     * @param asks true for a call that only asks
     */
    public record Verdict(Held after, String refused, String said, boolean asks) {}

    private MaintenanceState() {}

    /** One call on what holds now. {@code ready} tells whether this process can serve. */
    public static Verdict call(Held h, String line, boolean ready, long unixMs) {
        return call(h, line, ready, unixMs, Map.of());
    }

    /** The same where the loss of a site is planned for: how each stands, by name; empty where it is not, and
     *  then calls for sites are not known. */
    public static Verdict call(Held h, String line, boolean ready, long unixMs, Map<String, String> sites) {
        String[] words = line.strip().split(" +");
        String verb = words[0];
        if (!sites.isEmpty() && Set.of("site-out", "site-in", "site-status").contains(verb)) {
            return site(h, words, sites);
        }
        boolean engine = verb.equals("maint-on") || verb.equals("maint-off");
        boolean known = engine || verb.equals("status") || verb.equals("standby") || verb.equals("active");
        if (!known) {
            return no(
                    h,
                    verb.isEmpty()
                            ? "no call"
                            : "unknown call; status, maint-on ID, maint-off ID,"
                                    + (sites.isEmpty() ? "" : " site-out NAME, site-in NAME, site-status,")
                                    + " standby and active are known");
        }
        if (words.length != (engine ? 2 : 1)) {
            return no(h, engine ? verb + " takes one id" : verb + " takes nothing more");
        }
        if (engine && !h.listed.contains(words[1]) && !h.banned.contains(words[1])) {
            return no(h, "no engine of that id was ever listed");
        }
        return switch (verb) {
            case "status" -> !ready
                    ? no(h, "not ready")
                    : new Verdict(h, null, (h.standby ? "standby" : "active") + " out=" + h.banned.size(), true);
            case "standby" -> yes(h.standby(true), "standby");
            case "active" -> yes(h.standby(false), "active");
            case "maint-on" -> yes(h.banned(words[1]), "out " + words[1]);
            default -> yes(h.back(words[1], unixMs), "back " + words[1]);
        };
    }

    /** A site may be given up unless it is the last one that is not. */
    private static Verdict site(Held h, String[] words, Map<String, String> sites) {
        String name = words.length > 1 ? words[1] : null;
        if (words[0].equals("site-status") && words.length == 1) {
            StringBuilder all = new StringBuilder();
            sites.forEach((n, how) -> all.append(all.length() == 0 ? "" : "; ")
                    .append(n)
                    .append(' ')
                    .append(how));
            return new Verdict(h, null, all.toString(), true);
        }
        if (words.length != 2) {
            return no(
                    h, words[0] + (words[0].equals("site-status") ? " takes one name or nothing" : " takes one name"));
        }
        if (!sites.containsKey(name)) {
            return no(h, "no site of that name; there are " + String.join(", ", sites.keySet()));
        }
        if (words[0].equals("site-status")) {
            return new Verdict(h, null, name + " " + sites.get(name), true);
        }
        boolean out = words[0].equals("site-out");
        if (out
                && !h.sites.contains(name)
                && h.sites.containsAll(
                        sites.keySet().stream().filter(n -> !n.equals(name)).toList())) {
            return no(h, "it is the last site that is not out");
        }
        return yes(h.site(name, out), (out ? "out " : "in ") + name);
    }

    private static Verdict yes(Held h, String said) {
        return new Verdict(h, null, said, false);
    }

    private static Verdict no(Held h, String why) {
        return new Verdict(h, why, null, false);
    }
}
