/** Times of a small deployment, as the users' sheet gives them. */
final class Timing {
    static final long STORE_ANSWER_MS = 4;
    static final long HISTORY_MS = 20_000;
    static final long PROMOTION_MS = 300;
    static final long REPLICATION_LAG_MS = 60;
    static final long WORK_MS = 11;
    static final int SLOTS = 5;
    static final int CONNECTION_LIMIT = 32;
    static final long HEARTBEAT_MS = 1_200;

    /** Time for which an old primary continues after it can reach the new one, unless it is told to step down. */
    static final long OLD_PRIMARY_MS = 1_000;

    private Timing() {}
}
