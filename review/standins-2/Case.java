import java.nio.file.Path;

/** A case of the review. */
interface Case {
    int HELD = 0;
    int BROKEN = 1;
    int NOT_RUN = 2;

    /** Runs the case with [directory] for its files and returns one of the codes. */
    int run(Path directory) throws Exception;

    /** Arguments: name of the case, file of the record, directory. TROUBLE=0 leaves out the disruption. */
    static void main(String[] args) {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        int code = NOT_RUN;
        try (Record record = new Record(Path.of(args[1]))) {
            Case named = switch (args[0]) {
                case "ColdSpell" -> new ColdSpell(record, hasTrouble);
                case "MixedVersions" -> new MixedVersions(record, hasTrouble);
                default -> throw new IllegalArgumentException(args[0]);
            };
            code = named.run(Path.of(args[2]));
            record.result(code == HELD ? "the rule held" : code == BROKEN ? "the rule was broken" : "could not run");
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }
}
