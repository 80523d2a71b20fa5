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
 * One health check on a connection of its own, which blocks its thread until it has reported the result to the
 * dispatcher. Where the site has load reports, the check requests one.
 */
final class HealthProbe implements Runnable {
    private static final int READ_TIMEOUT_MILLIS = 1000;
    private static final int STATUS_OK = 200;

    private final UpstreamContext context;
    private final String endpointId;
    private final long sentAtMicros;
    /** Whether the request was written; a failure before that is one to connect. */
    private boolean sent;

    private LoadReport load;

    HealthProbe(UpstreamContext context, String endpointId, long sentAtMicros) {
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
            outcome = sent ? AttemptOutcome.TIMEOUT : AttemptOutcome.CONNECT_FAILED;
        } catch (IOException | RuntimeException e) {
            outcome = sent ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_FAILED;
        }
        context.dispatcher().healthCheckEnded(endpointId, outcome, sentAtMicros, load);
    }

    private AttemptOutcome exchange(Socket socket, LoadReportParser loadReports) throws IOException {
        connect(socket);
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        String request = request(usableEndpoint(), loadReports.isInProbes() ? "/metrics/load" : "/alive");
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        sent = true;
        HttpReader input = new HttpReader(socket.getInputStream(), context.clock());
        if (!input.awaitMessage()) {
            return AttemptOutcome.RESET;
        }
        HttpHead head = input.readResponseHead();
        if (head.status() != STATUS_OK) {
            return AttemptOutcome.FULL;
        }
        if (loadReports.isInProbes()) {
            String body = new String(input.readBody(head), StandardCharsets.UTF_8);
            load = context.parseLoadReport(loadReports, body);
        }
        return AttemptOutcome.OK;
    }

    /** The endpoint; fails if it accepts no requests any more, for a check is one too. */
    private UpstreamEndpoint usableEndpoint() throws IOException {
        UpstreamEndpoint endpoint =
                context.endpoints().findUsable(endpointId, context.clock().micros());
        if (endpoint == null) {
            throw new IOException("takes no requests");
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
