package magpiehub.protocol;

import magpiehub.http.HttpException;

/**
 * The prompt metadata in the header {@code X-Call-Info}; missing values are 0.
 *
 * @param prefixId the id of the prompt's shared prefix
 * @param promptTokens the length of the prompt in tokens
 * @param prefixTokens the length of the shared prefix in tokens
 * @param maxOutputTokens the maximum number of tokens in the response
 */
record PromptInfo(long prefixId, long promptTokens, long prefixTokens, long maxOutputTokens) {
    private static final PromptInfo NONE = new PromptInfo(0, 0, 0, 0);

    /** Parses comma-separated {@code name=value} pairs; unknown names are ignored. */
    static PromptInfo parse(String header) throws HttpException {
        if (header == null || header.isBlank()) {
            return NONE;
        }
        long prefixId = 0;
        long promptTokens = 0;
        long prefixTokens = 0;
        long maxOutputTokens = 0;
        for (String pair : header.split(",")) {
            int equals = pair.indexOf('=');
            String name = equals < 0 ? "" : pair.substring(0, equals).strip();
            String value = pair.substring(equals + 1).strip();
            switch (name) {
                case "prefix" -> prefixId = number(value, PlatformHeaders.HEXADECIMAL);
                case "prompt_len" -> promptTokens = number(value, PlatformHeaders.DECIMAL);
                case "prefix_len" -> prefixTokens = number(value, PlatformHeaders.DECIMAL);
                case "max_out" -> maxOutputTokens = number(value, PlatformHeaders.DECIMAL);
                default -> {
                    if (equals <= 0) {
                        throw new HttpException(400, "malformed " + PlatformHeaders.PROMPT_INFO);
                    }
                }
            }
        }
        return new PromptInfo(prefixId, promptTokens, prefixTokens, maxOutputTokens);
    }

    private static long number(String value, int radix) throws HttpException {
        return PlatformHeaders.parseUnsigned(value, radix, PlatformHeaders.PROMPT_INFO);
    }
}
