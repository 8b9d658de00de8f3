/** Finds members of JSON objects as raw text; enough for bodies that the proxies send. */
final class Json {
    private Json() {}

    /** The raw text of the member [name] of the object [text]; null if there is none. */
    static String member(String text, String name) {
        if (text == null) return null;
        int at = skipBlanks(text, 0);
        if (at >= text.length() || text.charAt(at) != '{') return null;
        at = skipBlanks(text, at + 1);
        while (at < text.length() && text.charAt(at) == '"') {
            int keyEnd = endOfValue(text, at);
            String key = text.substring(at + 1, keyEnd - 1);
            int start = skipBlanks(text, skipBlanks(text, keyEnd) + 1);
            int end = endOfValue(text, start);
            if (key.equals(name)) return text.substring(start, end);
            at = skipBlanks(text, end);
            if (at < text.length() && text.charAt(at) == ',') at = skipBlanks(text, at + 1);
        }
        return null;
    }

    /** The member [name] as a string without escapes; null if there is none. */
    static String text(String object, String name) {
        String raw = member(object, name);
        return raw == null || !raw.startsWith("\"") ? raw : raw.substring(1, raw.length() - 1);
    }

    private static int skipBlanks(String text, int at) {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) at++;
        return at;
    }

    private static int endOfValue(String text, int start) {
        boolean quoted = false;
        int depth = 0;
        for (int at = start; at < text.length(); at++) {
            char character = text.charAt(at);
            if (quoted) {
                if (character == '\\') at++;
                else if (character == '"') {
                    quoted = false;
                    if (depth == 0) return at + 1;
                }
            } else if (character == '"') {
                quoted = true;
            } else if (character == '{' || character == '[') {
                depth++;
            } else if (character == '}' || character == ']') {
                if (depth == 0) return at;
                if (--depth == 0) return at + 1;
            } else if ((character == ',' || Character.isWhitespace(character)) && depth == 0) {
                return at;
            }
        }
        return text.length();
    }
}
