/** Settings of a small deployment, in the form of the simulator's first message; figures are those of the site files. */
final class Settings {
    private Settings() {}

    /** One class: its name, deadline, aim and effect. */
    static String requestClass(String name, int deadlineMillis, int aimMillis, String effect, int windowMillis) {
        return "{\"aimMs\":" + aimMillis + ",\"deadlineMs\":" + deadlineMillis + ",\"effect\":\"" + effect
                + "\",\"gain\":2.0,\"group\":\"all\",\"lateShare\":0.0,\"name\":\"" + name
                + "\",\"stream\":true,\"windowMs\":" + windowMillis + "}";
    }

    static String of(String classes, boolean resume, int connectTimeoutMillis, String membershipMode, int instances) {
        return "{\"accounts\":[{\"allowancePerS\":40.0,\"name\":\"anping-harbour-rc\",\"share\":1.0}],\"classes\":[" + classes
                + "],\"clients\":{\"marksRetry\":false},\"costs\":{\"connection\":0.0,\"crossZone\":0.03,\"handshake\":0.0,"
                + "\"lateFail\":0.062,\"membershipMode\":0.0,\"moves\":0.0,\"origin\":0.0,\"peer\":0.0,\"probe\":0.002,"
                + "\"waste\":0.2},\"domainType\":\"llm\",\"familyInfo\":{\"aimUsPer1000PromptTokens\":[30000.0,30000.0],"
                + "\"notes\":\"tokens of the prompt that were found kept\",\"resume\":" + resume
                + ",\"tokenAimMs\":[50.0,50.0]},\"goal\":{\"whole\":0.45,\"worstClass\":0.3,\"worstTenant\":0.1,"
                + "\"worstWindow\":0.15},\"guarantees\":{\"answerSlackMs\":8.0,\"askWithinMs\":10000.0,\"coldMs\":9000.0,"
                + "\"fallMs\":1000.0,\"overloadFactor\":4.0,\"startCapacity\":0.3,\"stopSendingWithinMs\":2000.0},"
                + "\"instances\":" + instances + ",\"layers\":[\"results-model\"],\"limits\":{\"cancel\":true,"
                + "\"connectTimeoutMs\":" + connectTimeoutMillis + ",\"cpuUsPerRequest\":0.0,\"cpuUsPerS\":8000,"
                + "\"idleCloseMs\":30000.0,\"maxRetryAfterMs\":2000.0,\"mostHeld\":20000,\"mostTries\":3,"
                + "\"parallelTries\":false,\"peers\":false,\"probes\":false,\"retryAfter\":true,\"streamsPerConn\":1},"
                + "\"machineTypes\":[\"gpu-new\"],\"me\":0,\"membershipMode\":\"" + membershipMode
                + "\",\"myZone\":0,\"overShareWorth\":0.1,\"telemetry\":{\"fields\":[],\"how\":\"none\"},\"tickMs\":2.0,"
                + "\"tier\":0,\"valueBy\":\"work\",\"weights\":\"rough\",\"zones\":[\"anping\"]}";
    }
}
