package magpiehub.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import magpiehub.routing.AttemptOutcome;
import magpiehub.routing.DeduplicationScope;
import magpiehub.routing.Endpoint;
import magpiehub.routing.EndpointListKind;
import magpiehub.routing.Idempotency;
import magpiehub.routing.RoutingActions;
import magpiehub.routing.RoutingLimits;
import magpiehub.routing.RoutingPolicyFixture;
import magpiehub.routing.RoutingRequest;
import magpiehub.routing.RoutingSettings;
import magpiehub.routing.RoutingSettingsBuilder;
import magpiehub.telemetry.EventLog;
import org.junit.jupiter.api.Test;

/** Tests the dispatcher on a simulated clock, with ports that record the order of calls. */
class RequestDispatcherTest {
    private final List<String> calls = new ArrayList<>();
    private final List<Attempt> attempts = new ArrayList<>();
    private boolean fleetFails;
    private boolean policyFails;
    private boolean clientDisconnected;
    private boolean clientDisconnectsDuringTurn;
    private boolean clientsResume = true;
    private int watches;
    private long now = 1_000_000;
    private final ClientCallback client = new RecordingClient("", () -> clientDisconnected);
    private final UpstreamFleet fleet = new UpstreamFleet() {
        @Override
        public AttemptHandle startAttempt(Attempt attempt) {
            if (fleetFails) {
                throw new IllegalStateException("injected fault in the fleet");
            }
            attempts.add(attempt);
            calls.add("start " + attempt.endpointId());
            return new AttemptHandle() {
                @Override
                public void startForwarding() {
                    calls.add("startForwarding " + attempt.endpointId());
                }

                @Override
                public void abort() {
                    calls.add("abort " + attempt.endpointId());
                }
            };
        }

        @Override
        public void sendHealthCheck(String endpointId) {}

        @Override
        public void closeIdleConnections(String endpointId) {}

        @Override
        public void updateEndpoints(EndpointListKind kind, List<Endpoint> endpoints) {}
    };
    private final EndpointListSource endpointSource = new EndpointListSource() {
        @Override
        public void watch() {
            watches++;
        }

        @Override
        public void unwatch() {}

        @Override
        public void fetch() {}
    };
    private final EventLog eventLog = new EventLog() {
        @Override
        public void count(String name) {
            clientDisconnected |= clientDisconnectsDuringTurn && name.equals("taken");
            if (name.equals("sent") && policyFails) {
                throw new IllegalStateException("injected fault while the policy handles an event");
            }
        }

        @Override
        public void log(String event, String... namesAndValues) {}
    };
    /** Records the calls of one client, each with the client's name. */
    private final class RecordingClient implements ClientCallback {
        private final String prefix;
        private final BooleanSupplier disconnected;

        RecordingClient(String prefix, BooleanSupplier disconnected) {
            this.prefix = prefix;
            this.disconnected = disconnected;
        }

        @Override
        public void reject(long retryAfterMicros) {
            calls.add(prefix + "reject at " + now + (retryAfterMicros > 0 ? "" : " without Retry-After"));
        }

        @Override
        public void fail(String reason) {
            calls.add(prefix + "fail at " + now);
        }

        @Override
        public void migrate() {
            calls.add(prefix + "migrate");
        }

        @Override
        public boolean resumesStream() {
            return clientsResume;
        }

        @Override
        public boolean isClientDisconnected() {
            return disconnected.getAsBoolean();
        }
    }

    private RequestDispatcher dispatcher = newDispatcher(RoutingPolicyFixture.settings(1));

    private RequestDispatcher newDispatcher(RoutingSettings settings) {
        return new RequestDispatcher(settings, 7, () -> now, fleet, endpointSource, eventLog);
    }

    private static RoutingSettings settings(boolean subscribe, RoutingLimits limits) {
        RoutingSettings base = RoutingPolicyFixture.settings(1);
        return RoutingSettingsBuilder.from(base)
                .subscribesToEndpoints(subscribe)
                .limits(limits)
                .build();
    }

    /** Runs more turns than any step of a test posts messages and sets timers. */
    private void runTurns() throws InterruptedException {
        for (int i = 0; i < 8; i++) {
            dispatcher.runTurn(now);
        }
    }

    private void submitWithEndpoints(String... endpointIds) throws InterruptedException {
        submitWithEndpoints(400_000, endpointIds);
    }

    private void submitWithEndpoints(long timeoutMicros, String... endpointIds) throws InterruptedException {
        dispatcher.updateEndpoints(
                EndpointListKind.SAVED,
                Arrays.stream(endpointIds).map(RoutingPolicyFixture::endpoint).toList());
        submit(client, timeoutMicros);
        runTurns();
    }

    private void submit(ClientCallback submitter) {
        submit(submitter, 400_000);
    }

    private void submit(ClientCallback submitter, long timeoutMicros) {
        dispatcher.submit(
                new RoutingRequest("r", 0, 0, 7, 0, now + timeoutMicros, 0, 10, 0, 10, false, false, false),
                submitter,
                "payload",
                4);
    }

    @Test
    void aRequestOnWhichThePolicyThrowsFailsShortlyAfterItsDeadline() throws InterruptedException {
        policyFails = true;
        submitWithEndpoints("a");
        now += 400_000;
        runTurns();
        assertEquals(List.of(), calls);
        now += 4_000;
        runTurns();
        assertEquals(List.of("fail at 1404000"), calls);
    }

    @Test
    void anExceptionFromTheFleetCountsAsAConnectFailure() throws InterruptedException {
        fleetFails = true;
        submitWithEndpoints("a");
        assertEquals(List.of("reject at 1000000"), calls);
    }

    @Test
    void atTheDeadlineTheConnectionIsClosedBeforeTheRequestIsAnswered() throws InterruptedException {
        submitWithEndpoints("a", "b");
        now += 400_000;
        runTurns();
        String first = attempts.get(0).endpointId();
        assertEquals(List.of("start " + first, "abort " + first, "reject at 1400000"), calls);
        assertEquals(null, attempts.get(0).payload(), "the payload is released");
    }

    @Test
    void noRetryAfterIsSentIfTheSiteDisablesIt() throws InterruptedException {
        dispatcher.updateSettings(
                settings(true, new RoutingLimits(true, true, false, false, false, 6, 1000, 0, 250_000)));
        fleetFails = true;
        submitWithEndpoints("a");
        assertEquals(List.of("reject at 1000000 without Retry-After"), calls);
    }

    /** The watch is opened initially, and again 250 ms after a failure. */
    @Test
    void theWatchIsReopenedAtSitesThatPushTheEndpointList() throws InterruptedException {
        dispatcher.updateSettings(
                settings(false, RoutingPolicyFixture.settings(1).limits()));
        runTurns();
        assertEquals(1, watches);
        dispatcher.updateEndpoints(EndpointListKind.ERROR, List.of());
        runTurns();
        now += 249_000;
        runTurns();
        assertEquals(1, watches);
        now += 1_000;
        runTurns();
        assertEquals(2, watches);
    }

    @Test
    void reportsAfterTheFinalAnswerAreIgnored() throws InterruptedException {
        submitWithEndpoints("a");
        now += 400_000;
        runTurns();
        dispatcher.streamStarted(attempts.get(0));
        dispatcher.attemptEnded(attempts.get(0), AttemptOutcome.OK, 5, null);
        dispatcher.clientDisconnected("r", client);
        runTurns();
        assertEquals(List.of("start a", "abort a", "reject at 1400000"), calls);
    }

    /** While the ClientDisconnected message is queued, no attempt starts, and an open request is closed only once. */
    @Test
    void noAttemptIsStartedForADisconnectedClient() throws InterruptedException {
        clientDisconnected = true;
        submitWithEndpoints("a", "b");
        assertEquals(List.of(), calls, "the client disconnected before the request was admitted");
        clientDisconnected = false;
        submitWithEndpoints("a", "b");
        String first = attempts.get(0).endpointId();
        clientDisconnected = true;
        assertEquals(null, attempts.get(0).payload(), "a connection that is established now must not send the request");
        dispatcher.attemptEnded(attempts.get(0), AttemptOutcome.ERROR, -1, null);
        runTurns();
        dispatcher.clientDisconnected("r", client);
        runTurns();
        assertEquals(List.of("start " + first), calls, "no second attempt, and no answer");
        clientDisconnected = false;
        submitWithEndpoints("a", "b");
        assertEquals(2, attempts.size(), "the id can be used again");
    }

    /** Guards against lost requests: a client that sends another one's open id and leaves must not end that request. */
    @Test
    void aClientThatLeavesClosesOnlyItsOwnRequestAndNotAnotherOneWithItsId() throws InterruptedException {
        AtomicBoolean otherDisconnected = new AtomicBoolean();
        ClientCallback other = new RecordingClient("other ", otherDisconnected::get);
        submitWithEndpoints("a");
        submit(other);
        dispatcher.clientDisconnected("r", other);
        runTurns();
        otherDisconnected.set(true);
        submit(other);
        dispatcher.clientDisconnected("r", other);
        runTurns();
        assertEquals(1, dispatcher.openRequests(), "the first client's request is still open");
        dispatcher.streamStarted(attempts.get(0));
        runTurns();
        submit(other);
        dispatcher.clientDisconnected("r", other);
        runTurns();
        assertEquals(1, dispatcher.openRequests(), "the first client's stream is still in progress");
        assertEquals(List.of("start a", "other fail at 1000000", "startForwarding a"), calls);
    }

    /** Guards against a request that the policy ignores, so that its client waits until after the deadline. */
    @Test
    void aRequestIsRefusedWhileThePolicyStillTracksOneWithItsId() throws InterruptedException {
        policyFails = true;
        submitWithEndpoints("a");
        policyFails = false;
        now += 404_000;
        // Handled before the timer that answers the first request; the second one is handled right after that timer.
        dispatcher.execute(() -> {});
        submit(new RecordingClient("other ", () -> false));
        runTurns();
        assertEquals(List.of("fail at 1404000", "other fail at 1404000"), calls);
        submitWithEndpoints("a");
        assertEquals(1, attempts.size(), "the id can be used again");
    }

    /** The client disconnects during the policy's turn: the action has no effect, and no attempt stays open. */
    @Test
    void actionsDecidedWhileTheClientDisconnectsAreNotExecuted() throws InterruptedException {
        clientDisconnectsDuringTurn = true;
        submitWithEndpoints("a");
        assertEquals(List.of(), calls);
        assertEquals(0, dispatcher.openRequests());
        clientDisconnectsDuringTurn = false;
        clientDisconnected = false;
        submitWithEndpoints("a");
        assertEquals(List.of("start a"), calls);
    }

    /** Starts the repeat of a request that an upstream may have executed 2 s ago; the window ends after another 1 s. */
    private Attempt startRepeat() throws InterruptedException {
        dispatcher = newDispatcher(RoutingPolicyFixture.settings(
                1, RoutingPolicyFixture.requestClass(Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.ALL)));
        submitWithEndpoints(8_000_000, "a", "b");
        now += 2_000_000;
        dispatcher.attemptEnded(attempts.get(0), AttemptOutcome.RESET, -1, null);
        runTurns();
        assertEquals(2, attempts.size());
        calls.clear();
        return attempts.get(1);
    }

    /** Guards against duplicates: a connection that comes up late must not carry a repeat after the window. */
    @Test
    void aRepeatThatIsNotWrittenWithinTheWindowEndsWithIt() throws InterruptedException {
        Attempt repeat = startRepeat();
        assertEquals(4_000_000, repeat.writeDeadlineMicros());
        now += 999_999;
        runTurns();
        assertEquals(List.of(), calls);
        now += 1;
        runTurns();
        assertEquals(List.of("abort " + repeat.endpointId(), "reject at 4000000"), calls);
    }

    @Test
    void aRepeatThatWasWrittenWithinTheWindowGoesOn() throws InterruptedException {
        Attempt repeat = startRepeat();
        repeat.markWritten();
        now += 1_500_000;
        runTurns();
        dispatcher.streamStarted(repeat);
        runTurns();
        assertEquals(List.of("startForwarding " + repeat.endpointId()), calls);
    }

    @Test
    void aFirstAttemptMayBeWrittenAtAnyTime() throws InterruptedException {
        submitWithEndpoints("a");
        assertEquals(RoutingActions.NO_WRITE_DEADLINE, attempts.get(0).writeDeadlineMicros());
    }

    /** A request that was partly read at SIGTERM may complete during the shutdown; the process is killed soon after. */
    @Test
    void aRequestSubmittedAfterTheShutdownIsRejectedAndNotSent() throws InterruptedException {
        dispatcher.shutDown(true);
        submitWithEndpoints("a");
        assertEquals(List.of("reject at 1000000"), calls);
        assertEquals(0, dispatcher.openRequests());
    }

    /** Guards against streams that SIGKILL cuts: nobody would ask for the rest. */
    @Test
    void afterTheAnnouncementOfTheShutdownOnlyRequestsWithResumableStreamsAreAdmitted() throws InterruptedException {
        dispatcher.announceShutdown();
        submitWithEndpoints("a");
        assertEquals(List.of("start a"), calls);
        dispatcher.streamStarted(attempts.get(0));
        dispatcher.attemptEnded(attempts.get(0), AttemptOutcome.OK, -1, null);
        runTurns();
        calls.clear();
        clientsResume = false;
        submitWithEndpoints("a");
        assertEquals(List.of("reject at 1000000"), calls);
    }

    /** A request that may have had side effects must not be rejected, since clients retry rejected requests. */
    @Test
    void atTheShutdownOnlyRequestsThatAreSafeToRetryAreRejected() throws InterruptedException {
        for (Idempotency idempotency : Idempotency.values()) {
            for (DeduplicationScope scope : DeduplicationScope.values()) {
                calls.clear();
                dispatcher = newDispatcher(
                        RoutingPolicyFixture.settings(1, RoutingPolicyFixture.requestClass(idempotency, scope)));
                submitWithEndpoints("a");
                dispatcher.shutDown(false);
                runTurns();
                boolean retryIsSafe = idempotency == Idempotency.IDEMPOTENT
                        || (idempotency == Idempotency.IDEMPOTENT_WITH_KEY && scope == DeduplicationScope.ALL);
                assertEquals(
                        List.of("start a", "abort a", (retryIsSafe ? "reject" : "fail") + " at 1000000"),
                        calls,
                        idempotency + " " + scope);
            }
        }
    }

    @Test
    void aStartedStreamHasNoDeadlineAndIsMigratedAtTheShutdown() throws InterruptedException {
        submitWithEndpoints("a");
        dispatcher.streamStarted(attempts.get(0));
        runTurns();
        now += 60_000_000;
        runTurns();
        dispatcher.shutDown(true);
        runTurns();
        assertEquals(List.of("start a", "startForwarding a", "abort a", "migrate"), calls);
    }
}
