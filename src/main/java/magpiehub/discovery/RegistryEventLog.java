package magpiehub.discovery;

import java.nio.file.Path;
import magpiehub.telemetry.EventLog;

/** Counts and logs the events of a {@link RegistryClient}. Thread-safe if the underlying log is. */
final class RegistryEventLog {
    private static final long MICROS_PER_SECOND = 1_000_000;

    private final EventLog log;

    RegistryEventLog(EventLog log) {
        this.log = log;
    }

    void countCall(RegistryCallKind kind) {
        log.count("registry_" + kind.logName() + "_calls");
    }

    void countList() {
        log.count("registry_lists");
    }

    void countChanges() {
        log.count("registry_changes");
    }

    void countConfirmationOverdue() {
        log.count("membership_unconfirmed");
    }

    /** Logs an exception that the actor caught while it handled a message or a timer. */
    void exception(Throwable exception) {
        StackTraceElement[] trace = exception.getStackTrace();
        log.count("registry_exceptions");
        log.log(
                "registry-exception",
                "error",
                exception.toString(),
                "at",
                trace.length > 0 ? trace[0].toString() : "?");
    }

    /** Logs that a registry responds again after a failure; {@code lagMillis} is how long none had responded. */
    void recovered(RegistryCall call, ListPosition position, long lagMillis) {
        log.log(
                "registry-up",
                "kind",
                call.session.settings().kind(),
                "endpoint",
                call.endpointAddress(),
                "history",
                position.history(),
                "position",
                Long.toString(position.revision()),
                "lag_ms",
                Long.toString(lagMillis));
    }

    void callFailed(RegistryCall call, String reason) {
        log.count("registry_failures");
        log.log("registry-failed", "call", call.kind.logName(), "endpoint", call.endpointAddress(), "why", reason);
    }

    void relistRequired(RegistryCall call, String reason, ListPosition position) {
        log.count("registry_rereads");
        log.log(
                "registry-reread",
                "endpoint",
                call.endpointAddress(),
                "why",
                reason,
                "history",
                position.history(),
                "position",
                Long.toString(position.revision()));
    }

    void listLagging(RegistryCall call, String reason) {
        log.count("registry_behind");
        log.log("registry-behind", "endpoint", call.endpointAddress(), "why", reason);
    }

    void compacted(RegistryCall call, String reason, ListPosition position) {
        log.count("registry_compactions");
        log.log(
                "registry-compacted",
                "endpoint",
                call.endpointAddress(),
                "why",
                reason,
                "position",
                Long.toString(position.revision()));
    }

    void historyChanged(RegistryCall call, ListPosition position) {
        log.count("registry_histories");
        log.log(
                "registry-history",
                "endpoint",
                call.endpointAddress(),
                "history",
                position.history(),
                "term",
                Long.toString(position.term()),
                "position",
                Long.toString(position.revision()));
    }

    void listApplied(ListDelta delta, ListPosition position, int size) {
        log.log(
                "registry-list",
                "version",
                Long.toString(delta.version()),
                "position",
                Long.toString(position.revision()),
                "put",
                Integer.toString(delta.put().size()),
                "gone",
                Integer.toString(delta.removed().size()),
                "engines",
                Integer.toString(size));
    }

    void confirmationRequired(int held, int size) {
        log.count("membership_doubts");
        log.log("membership-doubt", "held", Integer.toString(held), "engines", Integer.toString(size));
    }

    void entryUnreadable(String key, String reason) {
        log.count("registry_unreadable");
        log.log("registry-entry-unreadable", "key", key, "why", reason);
    }

    void settingsChanged(DiscoverySettings settings) {
        log.count("registry_moves");
        log.log("registry-moved", "kind", settings.kind(), "endpoints", String.join(" ", settings.endpoints()));
    }

    void settingsRejected(Exception failure) {
        log.log("registry-move-failed", "error", String.valueOf(failure.getMessage()));
    }

    void cacheRestored(EndpointListCache.CachedList cached, int size) {
        log.count("registry_list_restored");
        log.log(
                "registry-list-restored",
                "engines",
                Integer.toString(size),
                "age_s",
                Long.toString(cached.ageMicros() / MICROS_PER_SECOND),
                "history",
                cached.position().history(),
                "position",
                Long.toString(cached.position().revision()));
    }

    void cacheRejected(Path file, Exception failure) {
        log.count("registry_list_refused");
        log.log("registry-list-refused-failed", "file", file.toString(), "why", String.valueOf(failure.getMessage()));
    }

    void countCacheWrite() {
        log.count("registry_list_writes");
    }

    void cacheWriteFailed(Path file, Exception failure) {
        log.count("registry_list_write_failures");
        log.log("registry-list-write-failed", "file", file.toString(), "why", failure.toString());
    }
}
