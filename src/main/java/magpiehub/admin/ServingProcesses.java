package magpiehub.admin;

import java.util.ArrayList;
import java.util.List;

/** Checks which router processes of a {@link MaintenanceState} are alive. There are two during an upgrade. */
final class ServingProcesses {
    private final long ownPid = ProcessHandle.current().pid();

    long ownPid() {
        return ownPid;
    }

    /** Whether another serving process is alive. */
    boolean isOtherProcessAlive(MaintenanceState state) {
        for (long pid : state.servingProcesses()) {
            if (pid != ownPid && isAlive(pid)) {
                return true;
            }
        }
        return false;
    }

    /** Whether another process started to serve after this one. */
    boolean hasNewerProcess(MaintenanceState state) {
        long newest = ownPid;
        for (long pid : state.servingProcesses()) {
            newest = pid;
        }
        return newest != ownPid;
    }

    /** The processes that have ended without removing themselves from the state. */
    List<Long> terminated(MaintenanceState state) {
        List<Long> ended = new ArrayList<>();
        for (long pid : state.servingProcesses()) {
            if (!isAlive(pid)) {
                ended.add(pid);
            }
        }
        return ended;
    }

    private static boolean isAlive(long pid) {
        return ProcessHandle.of(pid).isPresent();
    }
}
