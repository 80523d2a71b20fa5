package magpiehub.discovery;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import magpiehub.config.EndpointEntry;
import magpiehub.routing.EndpointState;

/**
 * One list of engines out of what sources say: whole lists, changes, and words such as "compacted". It is a
 * plain state machine, and owns what is current: the list, the source's history, the position in it, and a
 * version of its own that grows by one with each set of changes. It must never do I/O, read a clock, apply a
 * change twice, apply one that does not follow what it has, or mix two histories.
 *
 * <p>Applying a change costs work in the size of the change; a whole list costs work in its own size. An
 * instance belongs to one thread.
 */
public final class View {
    /**
     * A place in a source's history. Two positions compare only within one {@code history}.
     *
     * @param history what tells this history from another (etcd: the cluster id; empty where a source has
     *     none)
     * @param term the leader's term, which never goes back within a history; 0 where a source has none
     * @param number revision or index; -1 before anything was told
     */
    public record Position(String history, long term, long number) {
        /** Before anything was told. */
        public static final Position NONE = new Position("", 0, -1);
    }

    /**
     * One entry of a whole list, or one change.
     *
     * @param key where the source keeps it; two keys may claim one engine, and then the later {@code mod}
     *     counts
     * @param mod the position at which the key last changed; 0 where the source does not say
     * @param entry the engine; null if the key was removed or can't be read
     * @param unreadable why it can't be read, empty if it can but names no engine in service; null otherwise
     */
    public record Item(String key, long mod, EndpointEntry entry, String unreadable) {
        public static Item of(String key, long mod, EndpointEntry entry) {
            return new Item(key, mod, entry, null);
        }

        public static Item removed(String key, long mod) {
            return new Item(key, mod, null, null);
        }

        public static Item unreadable(String key, long mod, String why) {
            return new Item(key, mod, null, why);
        }

        /** An entry as its value has it; a key whose engine is told to be gone is there, but not in the list.
         *  */
        public static Item read(String key, long mod, EndpointEntry entry) {
            return entry.endpoint().state() == EndpointState.DEAD ? new Item(key, mod, null, "") : of(key, mod, entry);
        }
    }

    /** What came of a word. */
    public enum Verdict {
        /** It is the list now; {@link Result#delta} says what changed, which may be nothing. */
        APPLIED,
        /** It told nothing new. */
        OLD,
        /** A whole list older than what came meanwhile: not applied, but true at its time. */
        CROSSED,
        /** A whole list older than what was known when it was asked for: a second read must say the same. */
        BEHIND,
        /** It does not follow what is known: only a whole list helps. */
        REREAD
    }

    /**
     * The exact changes from one version to the next.
     *
     * @param version the version after them; that of the view, also where nothing changed
     * @param whole true if they come of a whole list
     * @param another true if the list is of another history than the one before it
     * @param put engines that are new or have changed
     * @param gone ids of engines that are no longer there
     */
    public record Delta(long version, boolean whole, boolean another, List<EndpointEntry> put, List<String> gone) {
        public boolean isEmpty() {
            return put.isEmpty() && gone.isEmpty();
        }
    }

    /** A verdict; {@code delta} is null unless it is APPLIED, {@code why} is a word for the log. */
    public record Result(Verdict verdict, Delta delta, String why) {}

    private record Held(EndpointEntry entry, long mod) {}

    /** What {@link #checked} says of a watch whose endpoint is not the one to read the list from. */
    static final String MUTE = "the watch is mute";

    static final String COUNT_DIFFERS = "the count differs";
    /** Changes remembered to know a history again by; more than the keys that one burst removes. */
    private static final int RECENT = 256;

    private final ArrayDeque<Item> newest = new ArrayDeque<>();
    private Map<String, Held> byKey = new HashMap<>();
    /** The key that counts for an id, and the others that claim it. */
    private Map<String, String> owner = new HashMap<>();

    private Map<String, Set<String>> rivals = new HashMap<>();
    /** Keys that are there and name no engine, with the reason. */
    private Map<String, Item> left = new LinkedHashMap<>();

    private Position at = Position.NONE;
    private long version;
    private long repeats;
    private boolean mustRead;
    /** Whole lists in a row that were older than what was known when they were asked for. */
    private int behind;
    /** What the last check saw, while it has not come by the watch. */
    private long owed = -1;

    private Position oddAt;

    /** Where this view stands in its source's history. */
    public Position position() {
        return at;
    }

    public long version() {
        return version;
    }

    /** Engines in the list. */
    public int size() {
        return owner.size();
    }

    /** Keys that the source has, with those that can't be read. */
    public int keys() {
        return byKey.size() + left.size();
    }

    /** Single changes that came again and were dropped. */
    public long repeats() {
        return repeats;
    }

    /** Whether the next call must be for the whole list. */
    public boolean needsWhole() {
        return mustRead || at.number < 0;
    }

    /** Keys whose entries can't be read, and why: left out of the list. */
    public Map<String, String> unreadable() {
        Map<String, String> m = new LinkedHashMap<>();
        left.forEach((k, i) -> m.put(k, i.unreadable));
        m.values().removeIf(String::isEmpty);
        return m;
    }

    /** An engine as the list has it, or null. */
    public EndpointEntry get(String id) {
        String key = owner.get(id);
        return key == null ? null : byKey.get(key).entry;
    }

    /** The whole list, in no order. */
    public List<EndpointEntry> entries() {
        List<EndpointEntry> all = new ArrayList<>(owner.size());
        owner.values().forEach(k -> all.add(byKey.get(k).entry));
        return all;
    }

    // ---- What sources say -----------------------------------------------------------------------------
    /** A list from before this start: shown until the source speaks, and no position in its history. */
    public Delta saved(List<Item> items) {
        return replace(items, false);
    }

    /** A list that gives a position too, and is followed by changes: the platform's, as a router had it. */
    public Delta saved(List<Item> items, Position position) {
        at = position;
        return saved(items);
    }

    /**
     * A whole list.
     *
     * @param to the source's position when it was read
     * @param asked this view's position when the list was asked for, where the source answers no call with
     *     less than it had when the call came; null where it may, and then an older list is just old
     * @param believed true if it counts whatever its position: the first word of another source
     */
    public Result whole(Position to, Position asked, List<Item> items, boolean believed) {
        boolean known = at.number >= 0;
        boolean another = known && (!to.history.equals(at.history) || older(to));
        if (!believed && known && !another && to.number < at.number) {
            if (asked == null) {
                return new Result(Verdict.OLD, null, "older than the list");
            }
            if (!asked.history.equals(to.history) || to.number >= asked.number) {
                behind = 0;
                return new Result(Verdict.CROSSED, null, "changes came meanwhile");
            }
            // One endpoint that lags is no restart with older data; two reads in a row that agree are.
            if (++behind < 2) {
                return new Result(Verdict.BEHIND, null, "position " + to.number + " after " + at.number);
            }
            another = true;
        }
        another |= believed && known && to.number < at.number;
        behind = 0;
        mustRead = false;
        owed = -1;
        oddAt = null;
        at = to;
        return new Result(Verdict.APPLIED, replace(items, another), another ? "another history" : "");
    }

    /** Changes up to a position. Those that have come before are dropped, one by one. */
    public Result changes(Position to, List<Item> items) {
        Result no = follows(to);
        if (no != null) {
            return no;
        }
        if (mustRead) {
            return new Result(Verdict.REREAD, null, "a whole list is due");
        }
        if (to.number < at.number) {
            repeats += items.size();
            return new Result(Verdict.OLD, null, "older than the list");
        }
        Map<String, EndpointEntry> before = new LinkedHashMap<>();
        for (Item i : items) {
            if (i.mod != 0 && i.mod <= at.number) {
                repeats++;
            } else {
                apply(i, before);
            }
        }
        at = new Position(to.history, Math.max(at.term, to.term), to.number);
        behind = 0;
        return new Result(Verdict.APPLIED, delta(before, false, false), "");
    }

    /** The head of a watch that has opened, or of any answer: whether what it says follows what is known. */
    public Result heard(Position of) {
        Result no = follows(of);
        if (no != null) {
            return no;
        }
        if (of.number < at.number) {
            // A member that lags, or a registry restarted with older data: a watch would wait for the future.
            mustRead = true;
            return new Result(Verdict.REREAD, null, "position " + of.number + " after " + at.number);
        }
        return new Result(Verdict.OLD, null, "");
    }

    /**
     * What the source says that it had at this view's position, before a watch goes on from there. Guards
     * against a registry that went back and has since come past that position: its numbers go on as if
     * nothing had been, and the changes in between were others.
     *
     * @param asked the position that was asked about
     * @param last the keys that had changed last by then, the latest first, with their entries: one alone may
     *     be the same in two pasts, such as an entry that nobody can read
     * @param count keys in the list then
     */
    public Result resumed(Position of, Position asked, List<Item> last, long count) {
        Result no = heard(of);
        // A new term alone is no step: the answer itself may have told it.
        if (no.verdict == Verdict.REREAD || !asked.history.equals(at.history) || asked.number != at.number) {
            return no;
        }
        Item mine = standing();
        boolean same = count == keys() && (last.isEmpty() ? count == 0 : mine != null && mine.mod == last.get(0).mod);
        for (Item i : last) {
            same &= stands(i);
        }
        if (!same) {
            mustRead = true;
            return new Result(Verdict.REREAD, null, "another past at position " + asked.number);
        }
        return no;
    }

    /**
     * What the source has, beside an open watch. Guards against a watch that stays open and says nothing:
     * what one check saw must have come by the next.
     *
     * @param asked this view's position when the check was sent: what came since may be newer than its answer
     * @param newest the newest position of any key in the list, as far as the source says
     * @param count keys in the list; -1 where the source does not say
     */
    public Result checked(Position of, Position asked, long newest, long count) {
        Result no = of.number < asked.number ? heard(of) : follows(of);
        if (no != null && no.verdict == Verdict.REREAD) {
            return no;
        }
        boolean late = owed > at.number;
        boolean odd = count >= 0 && count != keys();
        boolean stillOdd = odd && at.equals(oddAt);
        owed = newest;
        oddAt = odd ? at : null;
        if (late || stillOdd) {
            mustRead = true;
            return new Result(Verdict.REREAD, null, late ? MUTE : COUNT_DIFFERS);
        }
        return new Result(Verdict.OLD, null, "");
    }

    /** Whether the last check saw what the watch has not told yet. */
    public boolean ahead() {
        return owed > at.number || oddAt != null;
    }

    /** The source no longer has the changes that would follow. */
    public void compacted() {
        mustRead = true;
    }

    /** A source that does not name its term in each answer (0) has not gone back. */
    private boolean older(Position to) {
        return to.term != 0 && to.term < at.term;
    }

    private Result follows(Position to) {
        boolean other = at.number >= 0 && !to.history.equals(at.history);
        if (other || older(to)) {
            mustRead = true;
            return new Result(Verdict.REREAD, null, other ? "another history" : "an older term");
        }
        if (to.term > at.term) {
            at = new Position(at.history, to.term, at.number);
        }
        return null;
    }

    // ---- The list -------------------------------------------------------------------------------------
    private Delta replace(List<Item> items, boolean another) {
        Map<String, Held> oldKeys = byKey;
        Map<String, String> oldOwner = owner;
        byKey = new HashMap<>(items.size() * 2);
        owner = new HashMap<>(items.size() * 2);
        rivals = new HashMap<>();
        left = new LinkedHashMap<>();
        Map<String, EndpointEntry> nothing = new HashMap<>();
        newest.clear();
        List<Item> inOrder = new ArrayList<>(items);
        inOrder.sort(java.util.Comparator.comparingLong(Item::mod));
        for (Item i : inOrder) {
            apply(withAddress(i, oldKeys), nothing);
        }
        Map<String, EndpointEntry> before = new LinkedHashMap<>();
        oldOwner.forEach((id, key) -> before.put(id, oldKeys.get(key).entry));
        owner.keySet().forEach(id -> before.putIfAbsent(id, null));
        return delta(before, true, another);
    }

    /** An entry told without its address is at the one it had. */
    private static Item withAddress(Item i, Map<String, Held> known) {
        Held old = i.entry == null || i.entry.address() != null ? null : known.get(i.key);
        return old == null || old.entry.address() == null
                ? i
                : Item.of(i.key, i.mod, new EndpointEntry(i.entry.endpoint(), old.entry.address()));
    }

    /** Applies one change; {@code before} takes each touched id as it was. */
    private void apply(Item change, Map<String, EndpointEntry> before) {
        Item i = withAddress(change, byKey);
        Held old = byKey.get(i.key);
        if (old != null
                && (i.entry == null
                        || !i.entry.endpoint().id().equals(old.entry.endpoint().id()))) {
            release(i.key, old.entry.endpoint().id(), before);
        }
        if (i.unreadable != null) {
            left.put(i.key, i);
            remember(i);
        } else {
            left.remove(i.key);
        }
        if (i.entry == null) {
            byKey.remove(i.key);
            return;
        }
        String id = i.entry.endpoint().id();
        touch(id, before);
        byKey.put(i.key, new Held(i.entry, i.mod));
        remember(i);
        String other = owner.get(id);
        if (other == null || other.equals(i.key)) {
            owner.put(id, i.key);
        } else {
            // Two keys claim one engine: the later word counts, and the other is kept for when it goes.
            boolean wins = i.mod >= byKey.get(other).mod;
            owner.put(id, wins ? i.key : other);
            Set<String> r = rivals.computeIfAbsent(id, k -> new HashSet<>());
            r.add(wins ? other : i.key);
            r.remove(wins ? i.key : other);
        }
    }

    private void remember(Item i) {
        if (i.mod > 0) {
            newest.addLast(i);
            if (newest.size() > RECENT) {
                newest.removeFirst();
            }
        }
    }

    /** The last change to a key that still is what it made it; null if that is not known any more. */
    private Item standing() {
        for (Item i = newest.peekLast(); i != null; i = newest.peekLast()) {
            Held h = byKey.get(i.key);
            Item l = left.get(i.key);
            if ((h != null && h.mod == i.mod) || (l != null && l.mod == i.mod)) {
                return i;
            }
            newest.removeLast();
        }
        return null;
    }

    /** Whether a key is here as it is there. */
    private boolean stands(Item i) {
        Held h = byKey.get(i.key);
        Item l = left.get(i.key);
        return h != null
                ? h.mod == i.mod && h.entry.equals(i.entry)
                : l != null && l.mod == i.mod && l.unreadable.equals(i.unreadable);
    }

    private void release(String key, String id, Map<String, EndpointEntry> before) {
        touch(id, before);
        byKey.remove(key);
        Set<String> r = rivals.get(id);
        if (!key.equals(owner.get(id))) {
            r.remove(key);
        } else if (r == null) {
            owner.remove(id);
        } else {
            String next = r.stream()
                    .max(java.util.Comparator.<String>comparingLong(k -> byKey.get(k).mod)
                            .thenComparing(k -> k))
                    .orElseThrow();
            owner.put(id, next);
            r.remove(next);
        }
        if (r != null && r.isEmpty()) {
            rivals.remove(id);
        }
    }

    private void touch(String id, Map<String, EndpointEntry> before) {
        if (!before.containsKey(id)) {
            before.put(id, get(id));
        }
    }

    private Delta delta(Map<String, EndpointEntry> before, boolean whole, boolean another) {
        List<EndpointEntry> put = new ArrayList<>();
        List<String> gone = new ArrayList<>();
        before.forEach((id, old) -> {
            EndpointEntry now = get(id);
            if (now == null && old != null) {
                gone.add(id);
            } else if (now != null && !now.equals(old)) {
                put.add(now);
            }
        });
        if (!put.isEmpty() || !gone.isEmpty()) {
            version++;
        }
        return new Delta(version, whole, another, put, gone);
    }
}
