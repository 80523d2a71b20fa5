package magpiehub;

import java.io.IOException;

/** The command line: {@code drill} speaks the simulator's wire on standard input and output. */
public final class Main {

    private Main() {
    }

    /** Runs a command; exit status 0 on success, 1 on malformed input, 2 on wrong usage. */
    public static void main(String[] args) throws IOException {
        if (args.length != 1 || !args[0].equals("drill")) {
            System.err.println("usage: java -jar magpiehub.jar drill");
            System.exit(2);
        }
        WarmUp.run();
        int status = new Drill(System.in, System.out, System.err).run();
        System.exit(status);
    }
}
