/** Proofs by which a server shows that it ran a statement. */
final class Proofs {
    private Proofs() {}

    static String of(String query, String server) {
        return "p." + query + "." + server;
    }
}
