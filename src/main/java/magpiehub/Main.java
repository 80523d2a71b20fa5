package magpiehub;

import java.io.IOException;
import java.util.Map;
import magpiehub.config.ConfigurationException;
import magpiehub.config.RouterConfiguration;
import magpiehub.config.RouterConfigurationReader;
import magpiehub.lifecycle.ClassArchiveTrainer;
import magpiehub.lifecycle.ProcessSignals;
import magpiehub.lifecycle.Router;
import magpiehub.simulator.JitWarmUp;
import magpiehub.simulator.SimulatorAdapter;

/**
 * The command line: {@code serve} runs one router, {@code adapter} implements the simulator's protocol on standard
 * input and output, and {@code rehearse} runs a router briefly while the JVM records its classes in a CDS archive.
 */
public final class Main {
    private static final String SERVE = "serve";
    private static final String ADAPTER = "adapter";
    private static final String REHEARSE = "rehearse";

    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 2;

    private Main() {}

    /** Runs a command. The exit status is 0 on success, 1 on malformed input or configuration, 2 on incorrect usage. */
    public static void main(String[] args) throws IOException {
        ProcessSignals signals = ProcessSignals.install();
        String command = args.length == 1 ? args[0] : "";
        switch (command) {
            case SERVE, REHEARSE -> runRouter(command, signals);
            case ADAPTER -> runAdapter();
            default -> {
                System.err.println("usage: java -jar magpiehub.jar serve|adapter|rehearse");
                System.exit(EXIT_USAGE);
            }
        }
    }

    private static void runAdapter() throws IOException {
        JitWarmUp.run(JitWarmUp.ADAPTER_ROUNDS);
        System.exit(new SimulatorAdapter(System.in, System.out, System.err).run());
    }

    private static void runRouter(String command, ProcessSignals signals) {
        try {
            Map<String, String> environment = command.equals(SERVE) ? System.getenv() : ClassArchiveTrainer.start();
            RouterConfiguration configuration = RouterConfigurationReader.read(environment);
            new Router(configuration, signals).run();
        } catch (IOException | RuntimeException e) {
            // One line instead of a stack trace; the message alone suffices for a configuration error.
            System.err.println("magpiehub: " + (e instanceof ConfigurationException ? e.getMessage() : e));
            System.exit(EXIT_FAILED);
        }
    }
}
