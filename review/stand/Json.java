import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, strings, numbers, booleans and null. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        Json json = new Json(text);
        Object value = json.value();
        json.space();
        if (json.at != text.length()) throw new IllegalArgumentException("text after the value at " + json.at);
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    /** Returns an object of the given names and values. */
    static Map<String, Object> of(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) map.put((String) pairs[i], pairs[i + 1]);
        return map;
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            String separator = "{";
            if (map.isEmpty()) out.append('{');
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.append(separator);
                write(String.valueOf(entry.getKey()), out);
                out.append(':');
                write(entry.getValue(), out);
                separator = ",";
            }
            out.append('}');
        } else if (value instanceof List<?> list) {
            String separator = "[";
            if (list.isEmpty()) out.append('[');
            for (Object item : list) {
                out.append(separator);
                write(item, out);
                separator = ",";
            }
            out.append(']');
        } else if (value instanceof String string) {
            out.append('"');
            for (char c : string.toCharArray()) {
                if (c == '"' || c == '\\') out.append('\\').append(c);
                else if (c < ' ') out.append(String.format("\\u%04x", (int) c));
                else out.append(c);
            }
            out.append('"');
        } else {
            out.append(value);
        }
    }

    private void space() {
        while (at < text.length() && text.charAt(at) <= ' ') at++;
    }

    private Object value() {
        space();
        char c = text.charAt(at);
        if (c == '{') {
            Map<String, Object> map = new LinkedHashMap<>();
            at++;
            space();
            while (text.charAt(at) != '}') {
                space();
                String name = string();
                space();
                at++;
                map.put(name, value());
                space();
                if (text.charAt(at) == ',') at++;
                space();
            }
            at++;
            return map;
        }
        if (c == '[') {
            List<Object> list = new ArrayList<>();
            at++;
            space();
            while (text.charAt(at) != ']') {
                list.add(value());
                space();
                if (text.charAt(at) == ',') at++;
                space();
            }
            at++;
            return list;
        }
        if (c == '"') return string();
        int start = at;
        while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) at++;
        String word = text.substring(start, at);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> {
                if (word.matches("-?\\d+")) yield Long.parseLong(word);
                yield Double.parseDouble(word);
            }
        };
    }

    private String string() {
        StringBuilder out = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c != '\\') {
                out.append(c);
                continue;
            }
            char escaped = text.charAt(at++);
            switch (escaped) {
                case 'n' -> out.append('\n');
                case 't' -> out.append('\t');
                case 'r' -> out.append('\r');
                case 'b' -> out.append('\b');
                case 'f' -> out.append('\f');
                case 'u' -> {
                    out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                }
                default -> out.append(escaped);
            }
        }
        at++;
        return out.toString();
    }
}
