package magpiehub.dispatch;

import static org.junit.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import magpiehub.routing.AttemptOutcome;
import magpiehub.routing.Bench;
import magpiehub.routing.DeduplicationScope;
import magpiehub.routing.Endpoint;
import magpiehub.routing.EndpointListKind;
import magpiehub.routing.Idempotency;
import magpiehub.routing.RoutingLimits;
import magpiehub.routing.RoutingRequest;
import magpiehub.routing.RoutingSettings;
import magpiehub.telemetry.EventLog;
import org.junit.Test;

/** The module's actor over ports that note the order of what it does, on a clock of the test's own. */
public class RequestDispatcherTest {
    private final List<String> done = new ArrayList<>();
    private final List<Attempt> attempts = new ArrayList<>();
    private boolean fleetFails;
    private boolean moduleFails;
    private boolean clientGone;
    private boolean leavesInTheTurn;
    private int watches;
    private long now = 1_000_000;
    private final ClientCallback client = new ClientCallback() {
        @Override
        public void reject(long retryAfterMicros) {
            done.add("refuse at " + now + (retryAfterMicros > 0 ? "" : " with no time to return"));
        }

        @Override
        public void fail(String reason) {
            done.add("fail at " + now);
        }

        @Override
        public void migrate() {
            done.add("move");
        }

        @Override
        public boolean isClientGone() {
            return clientGone;
        }
    };
    private final UpstreamFleet fleet = new UpstreamFleet() {
        @Override
        public AttemptHandle startAttempt(Attempt a) {
            if (fleetFails) {
                throw new IllegalStateException("made to fail");
            }
            attempts.add(a);
            done.add("start " + a.endpointId());
            return new AttemptHandle() {
                @Override
                public void grant() {
                    done.add("grant " + a.endpointId());
                }

                @Override
                public void abort() {
                    done.add("abort " + a.endpointId());
                }
            };
        }

        @Override
        public void probe(String server) {}

        @Override
        public void closeIdleConnections(String endpointId) {}

        @Override
        public void updateEndpoints(EndpointListKind kind, List<Endpoint> endpoints) {}
    };
    private final EndpointListSource roster = new EndpointListSource() {
        @Override
        public void watch() {
            watches++;
        }

        @Override
        public void unwatch() {}

        @Override
        public void fetch() {}
    };
    private final EventLog journal = new EventLog() {
        @Override
        public void count(String name) {
            clientGone |= leavesInTheTurn && name.equals("taken");
            if (name.equals("sent") && moduleFails) {
                throw new IllegalStateException("made to fail inside the module's turn");
            }
        }

        @Override
        public void log(String what, String... namesAndValues) {}
    };
    private RequestDispatcher actor = actor(Bench.settings(1));

    private RequestDispatcher actor(RoutingSettings settings) {
        return new RequestDispatcher(settings, 7, () -> now, fleet, roster, journal);
    }

    private void turns() throws InterruptedException {
        for (int i = 0; i < 8; i++) {
            actor.runTurn(now);
        }
    }

    private void ask(String... servers) throws InterruptedException {
        actor.updateEndpoints(
                EndpointListKind.SAVED,
                java.util.Arrays.stream(servers).map(Bench::server).toList());
        actor.submit(
                new RoutingRequest("r", 0, 0, 7, 0, now + 400_000, 0, 10, 0, 10, false, false, false),
                client,
                "work",
                4);
        turns();
    }

    @Test
    public void aFaultOfOursIsAnsweredByTheBackstopInsideTheSlack() throws InterruptedException {
        moduleFails = true;
        ask("a");
        now += 400_000;
        turns();
        assertEquals(List.of(), done);
        now += 4_000;
        turns();
        assertEquals(List.of("fail at 1404000"), done);
    }

    @Test
    public void aFaultOfTheEnginesSideIsAnAttemptThatNeverRan() throws InterruptedException {
        fleetFails = true;
        ask("a");
        assertEquals(List.of("refuse at 1000000"), done);
    }

    @Test
    public void atTheDeadlineTheOldSocketIsClosedBeforeTheAnswer() throws InterruptedException {
        ask("a", "b");
        now += 400_000;
        turns();
        String first = attempts.get(0).endpointId();
        assertEquals(List.of("start " + first, "abort " + first, "refuse at 1400000"), done);
        assertEquals("the body is let go", null, attempts.get(0).payload());
    }

    @Test
    public void noTimeToReturnIsNamedWhereTheSiteHasNone() throws InterruptedException {
        RoutingSettings t = Bench.settings(1);
        actor.updateSettings(new RoutingSettings(
                0,
                1,
                0,
                2,
                true,
                false,
                t.weights(),
                0.1,
                t.classes(),
                t.tenants(),
                new RoutingLimits(true, true, false, false, false, 6, 1000, 0, 250_000),
                t.guarantees(),
                t.costs()));
        fleetFails = true;
        ask("a");
        assertEquals(List.of("refuse at 1000000 with no time to return"), done);
    }

    /** A watch is how pushed lists come; it is opened at the start, and again a while after each failure. */
    @Test
    public void aWatchIsKeptWhereListsArePushed() throws InterruptedException {
        RoutingSettings t = Bench.settings(1);
        actor.updateSettings(new RoutingSettings(
                0,
                1,
                0,
                2,
                false,
                false,
                t.weights(),
                0.1,
                t.classes(),
                t.tenants(),
                t.limits(),
                t.guarantees(),
                t.costs()));
        turns();
        assertEquals(1, watches);
        actor.updateEndpoints(EndpointListKind.ERROR, List.of());
        turns();
        now += 249_000;
        turns();
        assertEquals(1, watches);
        now += 1_000;
        turns();
        assertEquals(2, watches);
    }

    @Test
    public void whatComesTooLateChangesNothing() throws InterruptedException {
        ask("a");
        now += 400_000;
        turns();
        actor.streamStarted(attempts.get(0));
        actor.attemptEnded(attempts.get(0), AttemptOutcome.OK, 5, null);
        actor.clientGone("r");
        turns();
        assertEquals(List.of("start a", "abort a", "refuse at 1400000"), done);
    }

    /** Its word is still in a mailbox; nothing begins for it, and what is out is closed once. */
    @Test
    public void nothingBeginsForAClientThatHasGone() throws InterruptedException {
        clientGone = true;
        ask("a", "b");
        assertEquals("before it was taken", List.of(), done);
        clientGone = false;
        ask("a", "b");
        String first = attempts.get(0).endpointId();
        clientGone = true;
        assertEquals(
                "a connection that comes up now is for nobody",
                null,
                attempts.get(0).payload());
        actor.attemptEnded(attempts.get(0), AttemptOutcome.ERROR, -1, null);
        turns();
        actor.clientGone("r");
        turns();
        assertEquals("no second attempt, and no answer", List.of("start " + first), done);
        clientGone = false;
        ask("a", "b");
        assertEquals("the id is free again", 2, attempts.size());
    }

    /** It leaves while the module decides: what was decided is not carried out, and no attempt stays open. */
    @Test
    public void whatIsDecidedWhileAClientLeavesIsNotCarriedOut() throws InterruptedException {
        leavesInTheTurn = true;
        ask("a");
        assertEquals(List.of(), done);
        assertEquals(0, actor.openRequests());
        leavesInTheTurn = false;
        clientGone = false;
        ask("a");
        assertEquals(List.of("start a"), done);
    }

    /** A request that was half read at SIGTERM may come whole only then; the process is killed soon after. */
    @Test
    public void aRequestThatComesAfterTheShutdownIsRefusedAndNotSent() throws InterruptedException {
        actor.shutDown(true);
        ask("a");
        assertEquals(List.of("refuse at 1000000"), done);
        assertEquals(0, actor.openRequests());
    }

    /** Effects at the shutdown: what may have run is not called refused, what can't have run is. */
    @Test
    public void atTheShutdownOnlyWhatMayBeRepeatedIsRefused() throws InterruptedException {
        for (Idempotency effect : Idempotency.values()) {
            for (DeduplicationScope group : DeduplicationScope.values()) {
                done.clear();
                actor = actor(Bench.settings(1, Bench.cls(effect, group)));
                ask("a");
                actor.shutDown(false);
                turns();
                boolean harmless =
                        effect == Idempotency.PURE || (effect == Idempotency.TOKEN && group == DeduplicationScope.ALL);
                assertEquals(
                        effect + " " + group,
                        List.of("start a", "abort a", (harmless ? "refuse" : "fail") + " at 1000000"),
                        done);
            }
        }
    }

    @Test
    public void aBegunStreamHasNoDeadlineAndAMoveEndsIt() throws InterruptedException {
        ask("a");
        actor.streamStarted(attempts.get(0));
        turns();
        now += 60_000_000;
        turns();
        actor.shutDown(true);
        turns();
        assertEquals(List.of("start a", "grant a", "abort a", "move"), done);
    }
}
