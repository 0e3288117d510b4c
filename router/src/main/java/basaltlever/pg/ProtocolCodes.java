package basaltlever.pg;

/** The numbers and letters of version 3 of the wire protocol, as far as they are spoken here. */
public final class ProtocolCodes {
  public static final int VERSION = 196_608;
  public static final int CANCEL = 80_877_102;
  public static final int SSL = 80_877_103;
  public static final int GSS = 80_877_104;

  public static final byte QUERY = 'Q';
  public static final byte TERMINATE = 'X';
  public static final byte SYNC = 'S';
  public static final byte ROW_DESCRIPTION = 'T';
  public static final byte DATA_ROW = 'D';
  public static final byte COMPLETE = 'C';
  public static final byte ERROR = 'E';
  public static final byte NOTICE = 'N';
  public static final byte STATUS = 'S';
  public static final byte AUTHENTICATION = 'R';
  public static final byte KEY = 'K';
  public static final byte READY = 'Z';
  public static final byte EMPTY = 'I';

  public static final String VIOLATION = "08P01";
  public static final String UNSUPPORTED = "0A000";
  public static final String TOO_LARGE = "54000";

  /** Harmless to try again: too many connections, which stands for every kind of full. */
  public static final String TOO_MANY = "53300";

  /** Harmless to try again: the one that is asked ends or has not begun. */
  public static final String CANNOT_CONNECT_NOW = "57P03";

  /** No promise about what has happened. */
  public static final String UNKNOWN_EFFECT = "58000";

  private ProtocolCodes() {}
}
