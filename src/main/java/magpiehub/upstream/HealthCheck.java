package magpiehub.upstream;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import magpiehub.config.HostPort;
import magpiehub.http.HttpHead;
import magpiehub.http.HttpReader;
import magpiehub.routing.AttemptOutcome;
import magpiehub.routing.LoadReport;

/**
 * One health check on a connection of its own. Blocks its thread until it has reported the result to the dispatcher.
 * Where the site's upstreams have load reports, the health check requests one.
 */
final class HealthCheck implements Runnable {
    /** Time limit for the first byte of the answer, and from there for the whole answer. */
    private static final int READ_TIMEOUT_MILLIS = 1000;

    private static final long MICROS_PER_MILLI = 1000;
    private static final int STATUS_OK = 200;

    private final UpstreamContext context;
    private final String endpointId;
    private final long sentAtMicros;
    /** Whether the request was written; an earlier failure counts as a failure to connect. */
    private boolean requestWritten;

    private LoadReport load;

    HealthCheck(UpstreamContext context, String endpointId, long sentAtMicros) {
        this.context = context;
        this.endpointId = endpointId;
        this.sentAtMicros = sentAtMicros;
    }

    @Override
    public void run() {
        AttemptOutcome outcome;
        LoadReportParser loadReports = context.settings().loadReports();
        try (Socket socket = new Socket()) {
            outcome = exchange(socket, loadReports);
        } catch (SocketTimeoutException e) {
            outcome = requestWritten ? AttemptOutcome.TIMEOUT : AttemptOutcome.CONNECT_FAILED;
        } catch (IOException | RuntimeException e) {
            outcome = requestWritten ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_FAILED;
        }
        context.dispatcher().healthCheckEnded(endpointId, outcome, sentAtMicros, load);
    }

    private AttemptOutcome exchange(Socket socket, LoadReportParser loadReports) throws IOException {
        connect(socket);
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        String request = request(usableEndpoint(), loadReports.isInHealthChecks() ? "/metrics/load" : "/alive");
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        requestWritten = true;
        HttpReader input = new HttpReader(socket.getInputStream(), context.clock());
        input.setMessageTimeoutMicros(READ_TIMEOUT_MILLIS * MICROS_PER_MILLI);
        if (!input.awaitMessage()) {
            return AttemptOutcome.RESET;
        }
        HttpHead head = input.readResponseHead();
        if (head.status() != STATUS_OK) {
            return AttemptOutcome.FULL;
        }
        if (loadReports.isInHealthChecks()) {
            String body = new String(input.readBody(head), StandardCharsets.UTF_8);
            load = context.parseLoadReport(loadReports, body);
        }
        return AttemptOutcome.OK;
    }

    /** Returns the endpoint; fails if it no longer accepts requests, since a health check is a request too. */
    private UpstreamEndpoint usableEndpoint() throws IOException {
        UpstreamEndpoint endpoint =
                context.endpoints().findUsable(endpointId, context.clock().micros());
        if (endpoint == null) {
            throw new IOException("endpoint " + endpointId + " does not accept requests");
        }
        return endpoint;
    }

    private void connect(Socket socket) throws IOException {
        UpstreamEndpoint endpoint = usableEndpoint();
        socket.setTcpNoDelay(true);
        socket.connect(
                HostPort.toSocketAddress(endpoint.hostPort()),
                context.settings().connectTimeoutMillis());
    }

    private static String request(UpstreamEndpoint endpoint, String target) {
        return "GET " + target + " HTTP/1.1\r\nHost: " + endpoint.hostPort() + "\r\nConnection: close\r\n\r\n";
    }
}
