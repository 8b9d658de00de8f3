/** The case could not be run. */
final class Unable extends Exception {
    private static final long serialVersionUID = 1;

    Unable(String message) {
        super(message);
    }
}
