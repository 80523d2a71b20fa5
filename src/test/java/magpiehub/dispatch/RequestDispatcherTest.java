package magpiehub.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import magpiehub.routing.AttemptOutcome;
import magpiehub.routing.DeduplicationScope;
import magpiehub.routing.Endpoint;
import magpiehub.routing.EndpointListKind;
import magpiehub.routing.Idempotency;
import magpiehub.routing.RoutingLimits;
import magpiehub.routing.RoutingPolicyFixture;
import magpiehub.routing.RoutingRequest;
import magpiehub.routing.RoutingSettings;
import magpiehub.telemetry.EventLog;
import org.junit.jupiter.api.Test;

/** The dispatcher, on a clock that the test sets, with ports that record the order of calls. */
class RequestDispatcherTest {
    private final List<String> calls = new ArrayList<>();
    private final List<Attempt> attempts = new ArrayList<>();
    private boolean fleetFails;
    private boolean policyFails;
    private boolean clientGone;
    private boolean clientLeavesDuringTurn;
    private int watches;
    private long now = 1_000_000;
    private final ClientCallback client = new ClientCallback() {
        @Override
        public void reject(long retryAfterMicros) {
            calls.add("refuse at " + now + (retryAfterMicros > 0 ? "" : " with no time to return"));
        }

        @Override
        public void fail(String reason) {
            calls.add("fail at " + now);
        }

        @Override
        public void migrate() {
            calls.add("move");
        }

        @Override
        public boolean isClientGone() {
            return clientGone;
        }
    };
    private final UpstreamFleet fleet = new UpstreamFleet() {
        @Override
        public AttemptHandle startAttempt(Attempt attempt) {
            if (fleetFails) {
                throw new IllegalStateException("made to fail");
            }
            attempts.add(attempt);
            calls.add("start " + attempt.endpointId());
            return new AttemptHandle() {
                @Override
                public void grant() {
                    calls.add("grant " + attempt.endpointId());
                }

                @Override
                public void abort() {
                    calls.add("abort " + attempt.endpointId());
                }
            };
        }

        @Override
        public void probe(String endpointId) {}

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
            clientGone |= clientLeavesDuringTurn && name.equals("taken");
            if (name.equals("sent") && policyFails) {
                throw new IllegalStateException("made to fail inside the module's turn");
            }
        }

        @Override
        public void log(String event, String... namesAndValues) {}
    };
    private RequestDispatcher dispatcher = newDispatcher(RoutingPolicyFixture.settings(1));

    private RequestDispatcher newDispatcher(RoutingSettings settings) {
        return new RequestDispatcher(settings, 7, () -> now, fleet, endpointSource, eventLog);
    }

    private static RoutingSettings settings(boolean subscribe, RoutingLimits limits) {
        RoutingSettings base = RoutingPolicyFixture.settings(1);
        return new RoutingSettings(
                0,
                1,
                0,
                2,
                subscribe,
                false,
                base.weightMeaning(),
                0.1,
                base.classes(),
                base.tenants(),
                limits,
                base.guarantees(),
                base.costs());
    }

    /** More turns than the messages and timers of a step need. */
    private void runTurns() throws InterruptedException {
        for (int i = 0; i < 8; i++) {
            dispatcher.runTurn(now);
        }
    }

    private void submitWithEndpoints(String... endpointIds) throws InterruptedException {
        dispatcher.updateEndpoints(
                EndpointListKind.SAVED,
                Arrays.stream(endpointIds).map(RoutingPolicyFixture::endpoint).toList());
        dispatcher.submit(
                new RoutingRequest("r", 0, 0, 7, 0, now + 400_000, 0, 10, 0, 10, false, false, false),
                client,
                "work",
                4);
        runTurns();
    }

    @Test
    void aRequestThatThePolicyFailsOnIsAnsweredShortlyAfterItsDeadline() throws InterruptedException {
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
    void aFaultOfTheFleetIsAnAttemptThatNeverRan() throws InterruptedException {
        fleetFails = true;
        submitWithEndpoints("a");
        assertEquals(List.of("refuse at 1000000"), calls);
    }

    @Test
    void atTheDeadlineTheConnectionIsClosedBeforeTheAnswer() throws InterruptedException {
        submitWithEndpoints("a", "b");
        now += 400_000;
        runTurns();
        String first = attempts.get(0).endpointId();
        assertEquals(List.of("start " + first, "abort " + first, "refuse at 1400000"), calls);
        assertEquals(null, attempts.get(0).payload(), "the body is let go");
    }

    @Test
    void noRetryAfterIsNamedWhereTheSiteForbidsIt() throws InterruptedException {
        dispatcher.updateSettings(
                settings(true, new RoutingLimits(true, true, false, false, false, 6, 1000, 0, 250_000)));
        fleetFails = true;
        submitWithEndpoints("a");
        assertEquals(List.of("refuse at 1000000 with no time to return"), calls);
    }

    /** The watch is opened at the start, and again a while after each failure. */
    @Test
    void aWatchIsKeptOpenWhereEndpointListsArePushed() throws InterruptedException {
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
    void eventsAfterTheAnswerChangeNothing() throws InterruptedException {
        submitWithEndpoints("a");
        now += 400_000;
        runTurns();
        dispatcher.streamStarted(attempts.get(0));
        dispatcher.attemptEnded(attempts.get(0), AttemptOutcome.OK, 5, null);
        dispatcher.clientGone("r");
        runTurns();
        assertEquals(List.of("start a", "abort a", "refuse at 1400000"), calls);
    }

    /** The message that says so is still in a mailbox: nothing is started, and what is in progress is closed once. */
    @Test
    void nothingBeginsForAClientThatHasGone() throws InterruptedException {
        clientGone = true;
        submitWithEndpoints("a", "b");
        assertEquals(List.of(), calls, "before it was taken");
        clientGone = false;
        submitWithEndpoints("a", "b");
        String first = attempts.get(0).endpointId();
        clientGone = true;
        assertEquals(null, attempts.get(0).payload(), "a connection that comes up now is for nobody");
        dispatcher.attemptEnded(attempts.get(0), AttemptOutcome.ERROR, -1, null);
        runTurns();
        dispatcher.clientGone("r");
        runTurns();
        assertEquals(List.of("start " + first), calls, "no second attempt, and no answer");
        clientGone = false;
        submitWithEndpoints("a", "b");
        assertEquals(2, attempts.size(), "the id is free again");
    }

    /** The client leaves while the policy decides: the decision is not carried out, and no attempt stays open. */
    @Test
    void whatIsDecidedWhileAClientLeavesIsNotCarriedOut() throws InterruptedException {
        clientLeavesDuringTurn = true;
        submitWithEndpoints("a");
        assertEquals(List.of(), calls);
        assertEquals(0, dispatcher.openRequests());
        clientLeavesDuringTurn = false;
        clientGone = false;
        submitWithEndpoints("a");
        assertEquals(List.of("start a"), calls);
    }

    /** A request that was half read at SIGTERM may be complete only then; the process is killed soon after. */
    @Test
    void aRequestThatComesAfterTheShutdownIsRefusedAndNotSent() throws InterruptedException {
        dispatcher.shutDown(true);
        submitWithEndpoints("a");
        assertEquals(List.of("refuse at 1000000"), calls);
        assertEquals(0, dispatcher.openRequests());
    }

    /** What may have had effects is not rejected as if it had none. */
    @Test
    void atTheShutdownOnlyWhatMayBeRepeatedIsRefused() throws InterruptedException {
        for (Idempotency effect : Idempotency.values()) {
            for (DeduplicationScope group : DeduplicationScope.values()) {
                calls.clear();
                dispatcher = newDispatcher(
                        RoutingPolicyFixture.settings(1, RoutingPolicyFixture.requestClass(effect, group)));
                submitWithEndpoints("a");
                dispatcher.shutDown(false);
                runTurns();
                boolean retryIsSafe = effect == Idempotency.IDEMPOTENT
                        || (effect == Idempotency.IDEMPOTENT_WITH_KEY && group == DeduplicationScope.ALL);
                assertEquals(
                        List.of("start a", "abort a", (retryIsSafe ? "refuse" : "fail") + " at 1000000"),
                        calls,
                        effect + " " + group);
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
        assertEquals(List.of("start a", "grant a", "abort a", "move"), calls);
    }
}
