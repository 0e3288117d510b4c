package basaltlever.lab.virtual;

/**
 * A fault planted between a router and its network, to show that the ledger finds what it is there
 * to find.
 */
public enum Bug {
  NONE,
  /** A connection that breaks is taken for a proof that nothing ran, so what ran is sent again. */
  RESET_PROVES_NOT_RUN,
  /** Whoever was primary once is heard to say so still, in polls and answers. */
  OLD_PRIMARY_CLAIMS,
  /** Every hundredth answer is given twice. */
  ANSWERS_TWICE,
  /** A drain is not heard of. */
  IGNORES_DRAINS,
  /** Every hundredth answer is dropped. */
  DROPS_ANSWERS,
  /** What was taken under the old settings is forgotten with them. */
  SWITCH_FORGETS,
  /** What is out at a switch of settings is taken for never run. */
  SWITCH_REPEATS
}
