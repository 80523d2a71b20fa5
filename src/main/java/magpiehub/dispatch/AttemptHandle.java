package magpiehub.dispatch;

/** One attempt as the engines' side holds it. */
public interface AttemptHandle {
    /** The stream belongs to the client: whatever has come and comes may be passed on. */
    void grant();

    /** Closes the attempt's connection before it returns, so that no second copy can be out. */
    void abort();
}
